#include "fescuegw/storage/ReplicaStore.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace fescuegw::storage {

namespace {

    constexpr uint32_t frameMagic = 0x46534731;
    constexpr const char* logName = "log";
    constexpr const char* snapshotName = "snapshot";
    constexpr const char* identityName = "identity";
    constexpr const char* lockName = "lock";
    constexpr mode_t fileMode = 0600;
    constexpr mode_t folderMode = 0700;

    // Precedes each frame's payload. The checksum covers sequence and payload, so that a leftover frame of an older log
    // generation behind the end is not accepted as a new one.
    struct FrameHeader {
        uint32_t magic = frameMagic;
        uint32_t size = 0;
        uint64_t sequence = 0;
        uint64_t checksum = 0;
    };

    uint64_t checksum(uint64_t sequence, std::string_view payload)
    {
        return XXH3_64bits_withSeed(payload.data(), payload.size(), sequence);
    }

    std::string makeFrame(uint64_t sequence, const std::string& payload)
    {
        const FrameHeader header { frameMagic, static_cast<uint32_t>(payload.size()), sequence, checksum(sequence, payload) };
        std::string frame(reinterpret_cast<const char*>(&header), sizeof header);
        return frame + payload;
    }

    struct Frame {
        uint64_t sequence = 0;
        std::string_view payload;
        size_t end = 0;
    };

    // Returns the frame that starts at `offset`, or nothing if it is incomplete or damaged.
    std::optional<Frame> parseFrame(std::string_view content, size_t offset)
    {
        FrameHeader header;
        if (content.size() - offset < sizeof header)
            return std::nullopt;
        std::memcpy(&header, content.data() + offset, sizeof header);
        const size_t start = offset + sizeof header;
        if (header.magic != frameMagic || header.size > content.size() - start)
            return std::nullopt;
        const std::string_view payload = content.substr(start, header.size);
        if (header.checksum != checksum(header.sequence, payload))
            return std::nullopt;
        return Frame { header.sequence, payload, start + header.size };
    }

    // A frame is written only after the previous one was synced, so a valid frame behind an invalid one proves that the log is
    // damaged, not just cut off by a crash.
    bool hasFrameAfter(std::string_view content, size_t offset)
    {
        const std::string_view magic(reinterpret_cast<const char*>(&frameMagic), sizeof frameMagic);
        for (size_t it = content.find(magic, offset + 1); it != std::string_view::npos; it = content.find(magic, it + 1))
            if (parseFrame(content, it))
                return true;
        return false;
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream stream(path, std::ios::binary);
        if (!stream)
            return std::nullopt;
        std::ostringstream content;
        content << stream.rdbuf();
        return content.str();
    }

    Error diskError(const std::string& detail) { return Error { Verdict::MayHaveRun, 500, detail }; }

    void replay(const wire::DiskFrame& frame, Recovered& recovered)
    {
        if (frame.has_hard_state())
            recovered.hardState = frame.hard_state();
        for (const auto& it : frame.entries()) {
            while (!recovered.entries.empty() && recovered.entries.back().index() >= it.index())
                recovered.entries.pop_back();
            if (it.index() > recovered.snapshot.index())
                recovered.entries.push_back(it);
        }
    }

} // namespace

DiskHooks systemDisk()
{
    return DiskHooks {
        [](int descriptor, const void* data, size_t size) { return ::write(descriptor, data, size); },
        [](int descriptor) { return ::fdatasync(descriptor); },
    };
}

ReplicaStore::ReplicaStore(std::string folder, DiskHooks disk)
    : m_folder(std::move(folder))
    , m_disk(std::move(disk))
{
}

ReplicaStore::~ReplicaStore()
{
    if (m_logDescriptor >= 0)
        close(m_logDescriptor);
    if (m_lockDescriptor >= 0)
        close(m_lockDescriptor);
}

std::string ReplicaStore::path(const std::string& name) const { return m_folder + "/" + name; }

Result<void> ReplicaStore::lockFolder()
{
    if (mkdir(m_folder.c_str(), folderMode) != 0 && errno != EEXIST)
        return tl::unexpected(diskError(m_folder + ": cannot create folder"));
    m_lockDescriptor = ::open(path(lockName).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, fileMode);
    if (m_lockDescriptor < 0 || flock(m_lockDescriptor, LOCK_EX | LOCK_NB) != 0)
        return tl::unexpected(diskError(m_folder + ": locked by another process"));
    return {};
}

Result<Recovered> ReplicaStore::open(uint64_t id)
{
    wire::DiskIdentity fresh;
    fresh.set_id(id);
    fresh.set_identity(randomIdentity());
    auto recovered = openAs(fresh);
    if (recovered && recovered->identity.id() != id)
        return tl::unexpected(diskError(path(identityName) + ": belongs to a replica other than " + std::to_string(id)));
    return recovered;
}

Result<Recovered> ReplicaStore::openAs(const wire::DiskIdentity& fresh)
{
    if (auto locked = lockFolder(); !locked)
        return tl::unexpected(locked.error());
    return readFolder(fresh);
}

Result<Recovered> ReplicaStore::readFolder(const wire::DiskIdentity& fresh)
{
    Recovered recovered;
    if (const auto content = readFile(path(identityName))) {
        // An empty file is a message without fields.
        if (!recovered.identity.ParseFromString(*content) || recovered.identity.identity() == 0)
            return tl::unexpected(diskError(path(identityName) + ": damaged"));
    } else {
        if (readFile(path(logName)))
            return tl::unexpected(diskError(path(identityName) + ": identity file missing although a log exists"));
        recovered.fresh = true;
        recovered.identity = fresh;
        if (auto saved = replaceFile(identityName, recovered.identity.SerializeAsString()); !saved)
            return tl::unexpected(saved.error());
    }
    if (const auto content = readFile(path(snapshotName))) {
        const auto frame = parseFrame(*content, 0);
        if (!frame || !recovered.snapshot.ParseFromArray(frame->payload.data(), static_cast<int>(frame->payload.size())))
            return tl::unexpected(diskError(path(snapshotName) + ": damaged at offset 0"));
    }
    return readLog(std::move(recovered));
}

Result<Recovered> ReplicaStore::readLog(Recovered recovered)
{
    const std::string content = readFile(path(logName)).value_or("");
    size_t offset = 0;
    while (offset < content.size()) {
        const auto frame = parseFrame(content, offset);
        wire::DiskFrame records;
        const bool parsed = frame && records.ParseFromArray(frame->payload.data(), static_cast<int>(frame->payload.size()));
        if (!parsed && hasFrameAfter(content, offset))
            return tl::unexpected(diskError(path(logName) + ": damaged at offset " + std::to_string(offset)));
        if (!parsed)
            break;
        replay(records, recovered);
        m_sequence = frame->sequence;
        offset = frame->end;
    }
    recovered.tornBytes = content.size() - offset;
    if (recovered.tornBytes > 0 && truncate(path(logName).c_str(), static_cast<off_t>(offset)) != 0)
        return tl::unexpected(diskError(path(logName) + ": cannot truncate the incomplete frame at the end of the log"));
    m_logBytes = offset;
    if (auto opened = openLog(); !opened)
        return tl::unexpected(opened.error());
    return recovered;
}

Result<void> ReplicaStore::openLog()
{
    if (m_logDescriptor >= 0)
        close(m_logDescriptor);
    m_logDescriptor = ::open(path(logName).c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, fileMode);
    if (m_logDescriptor < 0)
        return fail(path(logName) + ": cannot open log");
    return syncFolder();
}

Result<void> ReplicaStore::syncFolder()
{
    const int folder = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = folder >= 0 && fsync(folder) == 0;
    if (folder >= 0)
        close(folder);
    return synced ? Result<void>() : fail(m_folder + ": cannot sync folder");
}

Result<void> ReplicaStore::fail(const std::string& what)
{
    m_failed = true;
    return tl::unexpected(diskError(what));
}

void ReplicaStore::stage(const wire::HardState& hardState)
{
    *m_staged.mutable_hard_state() = hardState;
    m_hasStaged = true;
}

void ReplicaStore::stage(const wire::LogEntry& entry)
{
    *m_staged.add_entries() = entry;
    m_hasStaged = true;
}

bool ReplicaStore::hasStaged() const { return m_hasStaged; }

Result<void> ReplicaStore::writeAll(int descriptor, const std::string& data)
{
    size_t written = 0;
    while (written < data.size()) {
        const long n = m_disk.write(descriptor, data.data() + written, data.size() - written);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return fail(m_folder + ": write failed: " + std::strerror(errno));
        written += static_cast<size_t>(n);
    }
    if (m_disk.sync(descriptor) != 0)
        return fail(m_folder + ": sync failed: " + std::strerror(errno));
    return {};
}

Result<void> ReplicaStore::sync()
{
    if (m_failed)
        return tl::unexpected(diskError(m_folder + ": writes are disabled after an earlier failure"));
    if (!m_hasStaged)
        return {};
    const std::string frame = makeFrame(++m_sequence, m_staged.SerializeAsString());
    m_staged.Clear();
    m_hasStaged = false;
    ++m_syncCount;
    m_logBytes += frame.size();
    return writeAll(m_logDescriptor, frame);
}

Result<void> ReplicaStore::replaceFile(const std::string& name, const std::string& content)
{
    const std::string temporary = path(name + ".new");
    const int descriptor = ::open(temporary.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return fail(temporary + ": cannot create file");
    auto written = writeAll(descriptor, content);
    close(descriptor);
    if (!written)
        return written;
    if (rename(temporary.c_str(), path(name).c_str()) != 0)
        return fail(path(name) + ": cannot replace file");
    return syncFolder();
}

Result<void> ReplicaStore::compact(
    const wire::Snapshot& snapshot, const wire::HardState& hardState, const std::vector<wire::LogEntry>& entries)
{
    if (m_failed)
        return tl::unexpected(diskError(m_folder + ": writes are disabled after an earlier failure"));
    // The snapshot is written first: a crash before the log is replaced leaves entries that the snapshot covers, which replay
    // skips.
    if (auto saved = replaceFile(snapshotName, makeFrame(0, snapshot.SerializeAsString())); !saved)
        return saved;
    wire::DiskFrame records;
    *records.mutable_hard_state() = hardState;
    for (const auto& it : entries)
        *records.add_entries() = it;
    m_staged.Clear();
    m_hasStaged = false;
    const std::string frame = makeFrame(++m_sequence, records.SerializeAsString());
    m_logBytes = frame.size();
    if (auto saved = replaceFile(logName, frame); !saved)
        return saved;
    return openLog();
}

uint64_t ReplicaStore::syncCount() const { return m_syncCount; }

uint64_t ReplicaStore::logBytes() const { return m_logBytes; }

} // namespace fescuegw::storage
