// The files of one replica: identity, log and snapshot below one locked data folder.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <raft.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::storage {

// System calls that write, replaceable so that tests can make them fail.
struct DiskHooks {
    std::function<long(int descriptor, const void* data, size_t size)> write;
    std::function<int(int descriptor)> sync;
};

// Returns the hooks that reach the operating system.
DiskHooks systemDisk();

// What a replica finds on its disk when it starts.
struct Recovered {
    wire::DiskIdentity identity;
    wire::HardState hardState;
    wire::Snapshot snapshot;
    std::vector<wire::LogEntry> entries;
    // Bytes of an unsynced frame that were cut off the end of the log.
    uint64_t tornBytes = 0;
    bool fresh = false;
};

// The data folder of one replica. After any failed write or sync the store refuses all further writes, since what reached
// the disk is unknown. Not thread-safe.
class ReplicaStore {
public:
    ReplicaStore(std::string folder, DiskHooks);
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;
    ReplicaStore(ReplicaStore&&) = delete;
    ReplicaStore& operator=(ReplicaStore&&) = delete;

    // Locks the folder and reads it. A fresh folder gets an identity for replica `id`. Fails when another process holds the
    // lock, the folder belongs to another id, or the log is damaged before its end; the error names file and offset.
    Result<Recovered> open(uint64_t id);

    // The same for a replica that has no number of its own in its settings: a fresh folder gets `fresh` as its identity, any
    // other keeps the one it has.
    Result<Recovered> openAs(const wire::DiskIdentity& fresh);

    // Stage records for the next frame.
    void stage(const wire::HardState&);
    void stage(const wire::LogEntry&);
    bool hasStaged() const;

    // Writes and syncs one frame with all staged records. Returns an error when they can't be known to be durable.
    Result<void> sync();

    // Replaces the snapshot, and the log by `hardState` and `entries`. Durable on return.
    Result<void> compact(const wire::Snapshot&, const wire::HardState&, const std::vector<wire::LogEntry>& entries);

    // Number of syncs of the log since the store was opened.
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
    Result<void> stop(const std::string& what);
    std::string path(const std::string& name) const;

    std::string m_folder;
    DiskHooks m_disk;
    wire::DiskFrame m_staged;
    bool m_hasStaged = false;
    bool m_stopped = false;
    int m_lock = -1;
    int m_log = -1;
    uint64_t m_sequence = 0;
    uint64_t m_syncs = 0;
    uint64_t m_logBytes = 0;
};

} // namespace fescuegw::storage
