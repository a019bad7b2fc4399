// Recovery and disk failures: incomplete frames, damage, failed writes and syncs, folders of other replicas.
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <criterion/criterion.h>

#include "fescuegw/storage/ReplicaStore.h"

namespace fescuegw::storage {

namespace {

    constexpr uint64_t replicaId = 7;

    std::string newFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "fescuegw-store-XXXXXX";
        cr_assert_not_null(mkdtemp(name.data()));
        return name + "/data";
    }

    wire::LogEntry entry(uint64_t index, const std::string& command)
    {
        wire::LogEntry entry;
        entry.set_index(index);
        entry.set_term(1);
        entry.set_command(command);
        return entry;
    }

    // Writes `count` entries, each in a synced frame of its own.
    void writeEntries(const std::string& folder, uint64_t count)
    {
        ReplicaStore store(folder, systemDisk());
        cr_assert(store.open(replicaId).has_value());
        for (uint64_t i = 1; i <= count; ++i) {
            store.stage(entry(i, "command " + std::to_string(i)));
            cr_assert(store.sync().has_value());
        }
    }

    void flipByte(const std::string& path, long offset)
    {
        std::fstream stream(path, std::ios::in | std::ios::out | std::ios::binary);
        stream.seekg(offset);
        const char c = static_cast<char>(stream.get() ^ 0x5a);
        stream.seekp(offset);
        stream.put(c);
    }

} // namespace

Test(replicaStore, keepsIdentityAndEntries)
{
    const std::string folder = newFolder();
    writeEntries(folder, 3);
    ReplicaStore store(folder, systemDisk());
    const auto recovered = store.open(replicaId);
    cr_assert(recovered.has_value());
    cr_assert_not(recovered->fresh);
    cr_assert_eq(recovered->entries.size(), 3U);
    cr_assert_eq(recovered->entries[2].command(), "command 3");
}

Test(replicaStore, replacesEntriesFromRewrittenIndex)
{
    const std::string folder = newFolder();
    writeEntries(folder, 3);
    {
        ReplicaStore store(folder, systemDisk());
        cr_assert(store.open(replicaId).has_value());
        store.stage(entry(2, "other"));
        cr_assert(store.sync().has_value());
    }
    ReplicaStore store(folder, systemDisk());
    const auto recovered = store.open(replicaId);
    cr_assert_eq(recovered->entries.size(), 2U);
    cr_assert_eq(recovered->entries[1].command(), "other");
}

Test(replicaStore, truncatesIncompleteLastFrameOfAnyLength)
{
    const std::string folder = newFolder();
    writeEntries(folder, 2);
    const auto intactSize = std::filesystem::file_size(folder + "/log");
    writeEntries(newFolder(), 1);
    {
        ReplicaStore store(folder, systemDisk());
        cr_assert(store.open(replicaId).has_value());
        store.stage(entry(3, "torn"));
        cr_assert(store.sync().has_value());
    }
    const auto fullSize = std::filesystem::file_size(folder + "/log");
    for (auto size = fullSize - 1; size > intactSize; --size) {
        std::filesystem::resize_file(folder + "/log", size);
        ReplicaStore store(folder, systemDisk());
        const auto recovered = store.open(replicaId);
        cr_assert(recovered.has_value());
        cr_assert_eq(recovered->entries.size(), 2U);
        cr_assert_eq(recovered->tornBytes, size - intactSize);
        std::filesystem::resize_file(folder + "/log", size);
    }
}

Test(replicaStore, rejectsDamageBeforeLastFrame)
{
    const std::string folder = newFolder();
    writeEntries(folder, 3);
    const auto size = static_cast<long>(std::filesystem::file_size(folder + "/log"));
    for (long offset = 0; offset < size * 2 / 3; offset += 5) {
        flipByte(folder + "/log", offset);
        {
            ReplicaStore store(folder, systemDisk());
            const auto recovered = store.open(replicaId);
            cr_assert_not(recovered.has_value(), "damage at offset %ld was not detected", offset);
            cr_assert(recovered.error().detail.find("damaged at offset") != std::string::npos);
        }
        flipByte(folder + "/log", offset);
    }
}

Test(replicaStore, rejectsFolderOfOtherReplicaAndLockedFolder)
{
    const std::string folder = newFolder();
    writeEntries(folder, 1);
    ReplicaStore other(folder, systemDisk());
    cr_assert_not(other.open(replicaId + 1).has_value());
    ReplicaStore first(folder, systemDisk());
    // `other` still holds the lock.
    cr_assert_not(first.open(replicaId).has_value());
}

// Guards against a replica that takes part without an id and an identity: an empty file is a valid message.
Test(replicaStore, rejectsAnEmptiedIdentity)
{
    const std::string folder = newFolder();
    writeEntries(folder, 1);
    std::filesystem::resize_file(folder + "/identity", 0);
    ReplicaStore store(folder, systemDisk());
    wire::DiskIdentity fresh;
    fresh.set_id(replicaId);
    fresh.set_identity(1);
    cr_assert_not(store.openAs(fresh).has_value());
}

Test(replicaStore, rejectsWritesAfterFailedSync)
{
    const std::string folder = newFolder();
    bool failSync = false;
    DiskHooks disk = systemDisk();
    const auto sync = disk.sync;
    disk.sync = [&failSync, sync](int descriptor) { return failSync ? -1 : sync(descriptor); };
    ReplicaStore store(folder, disk);
    cr_assert(store.open(replicaId).has_value());
    store.stage(entry(1, "first"));
    failSync = true;
    cr_assert_not(store.sync().has_value());
    failSync = false;
    store.stage(entry(2, "second"));
    cr_assert_not(store.sync().has_value(), "write accepted after a failed sync");
}

Test(replicaStore, failsOnFullDiskAndCompletesShortWrites)
{
    const std::string folder = newFolder();
    bool full = false;
    DiskHooks disk = systemDisk();
    const auto write = disk.write;
    disk.write = [&full, write](int descriptor, const void* data, size_t size) {
        if (full) {
            errno = ENOSPC;
            return -1L;
        }
        return write(descriptor, data, std::min<size_t>(size, 3));
    };
    {
        ReplicaStore store(folder, disk);
        cr_assert(store.open(replicaId).has_value());
        store.stage(entry(1, "written three bytes at a time"));
        cr_assert(store.sync().has_value());
        full = true;
        store.stage(entry(2, "lost"));
        const auto written = store.sync();
        cr_assert_not(written.has_value());
        cr_assert(written.error().detail.find("No space") != std::string::npos);
    }
    ReplicaStore store(folder, systemDisk());
    const auto recovered = store.open(replicaId);
    cr_assert_eq(recovered->entries.size(), 1U);
}

Test(replicaStore, skipsEntriesCoveredBySnapshot)
{
    const std::string folder = newFolder();
    {
        ReplicaStore store(folder, systemDisk());
        cr_assert(store.open(replicaId).has_value());
        for (uint64_t i = 1; i <= 5; ++i)
            store.stage(entry(i, "c"));
        cr_assert(store.sync().has_value());
        wire::Snapshot snapshot;
        snapshot.set_index(3);
        snapshot.set_term(1);
        snapshot.set_state("state");
        wire::HardState hardState;
        hardState.set_term(4);
        cr_assert(store.compact(snapshot, hardState, { entry(4, "c"), entry(5, "c") }).has_value());
        store.stage(entry(6, "c"));
        cr_assert(store.sync().has_value());
    }
    ReplicaStore store(folder, systemDisk());
    const auto recovered = store.open(replicaId);
    cr_assert_eq(recovered->snapshot.state(), "state");
    cr_assert_eq(recovered->hardState.term(), 4U);
    cr_assert_eq(recovered->entries.size(), 3U);
    cr_assert_eq(recovered->entries.front().index(), 4U);
}

} // namespace fescuegw::storage
