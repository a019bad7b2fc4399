// Durable state of one replica: identity, log and snapshot files in a locked data folder.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <raft.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::storage {

// Write and sync system calls, replaceable for fault injection in tests.
struct DiskHooks {
    std::function<long(int descriptor, const void* data, size_t size)> write;
    std::function<int(int descriptor)> sync;
};

// Returns hooks that call the operating system.
DiskHooks systemDisk();

// State read from disk when a replica starts.
struct Recovered {
    wire::DiskIdentity identity;
    wire::HardState hardState;
    wire::Snapshot snapshot;
    std::vector<wire::LogEntry> entries;
    // Size in bytes of the incomplete, unsynced frame truncated from the end of the log.
    uint64_t tornBytes = 0;
    // Whether the folder held no identity yet.
    bool fresh = false;
};

// Reads and writes the data folder of one replica. After a failed write or sync, all further writes fail, since it is unknown
// which data reached the disk. Not thread-safe.
class ReplicaStore {
public:
    ReplicaStore(std::string folder, DiskHooks);
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;
    ReplicaStore(ReplicaStore&&) = delete;
    ReplicaStore& operator=(ReplicaStore&&) = delete;

    // Locks and reads the folder. A new folder gets an identity for replica `id`. Fails when another process holds the lock, the
    // folder belongs to another id, or a file is damaged; an incomplete frame at the end of the log is truncated instead. Errors
    // about a damaged log or snapshot name file and offset.
    Result<Recovered> open(uint64_t id);

    // Like `open`, for a replica whose settings have no id: a new folder gets `fresh` as its identity, any other keeps its own.
    Result<Recovered> openAs(const wire::DiskIdentity& fresh);

    // Add a record to the frame that the next `sync` writes.
    void stage(const wire::HardState&);
    void stage(const wire::LogEntry&);
    bool hasStaged() const;

    // Writes and syncs one frame with all staged records. Fails when they may not be durable.
    Result<void> sync();

    // Replaces the snapshot, and the content of the log with `hardState` and `entries`. Discards staged records. Durable on
    // success.
    Result<void> compact(const wire::Snapshot&, const wire::HardState&, const std::vector<wire::LogEntry>& entries);

    // Returns the number of calls of `sync` that had records to write since the store was opened.
    uint64_t syncCount() const;
    uint64_t logBytes() const;

private:
    Result<void> lockFolder();
    Result<Recovered> readFolder(const wire::DiskIdentity& fresh);
    Result<void> writeAll(int descriptor, const std::string& data);
    Result<void> replaceFile(const std::string& name, const std::string& content);
    Result<void> syncFolder();
    Result<Recovered> readLog(Recovered);
    Result<void> openLog();
    Result<void> fail(const std::string& what);
    std::string path(const std::string& name) const;

    std::string m_folder;
    DiskHooks m_disk;
    wire::DiskFrame m_staged;
    bool m_hasStaged = false;
    bool m_failed = false;
    int m_lockDescriptor = -1;
    int m_logDescriptor = -1;
    uint64_t m_sequence = 0;
    uint64_t m_syncCount = 0;
    uint64_t m_logBytes = 0;
};

} // namespace fescuegw::storage
