// Saves states to a SnapshotStore on a separate thread, so that a slow disk does not block the caller. If
// several states are waiting, only the newest is saved.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "snapshot/snapshot_store.hpp"

namespace reedspindle::snapshot {

// Runs the thread that saves. The store must outlive the writer.
class SnapshotWriter {
 public:
  // Called on the writer's thread after each save, with the disk error, or an empty string on success.
  using OnSaved = std::function<void(std::string error)>;

  SnapshotWriter(SnapshotStore& store, OnSaved on_saved)
      : store_(store), on_saved_(std::move(on_saved)), thread_([this] { run(); }) {}
  // Saves the waiting state, if any, and stops the thread.
  ~SnapshotWriter() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  SnapshotWriter(const SnapshotWriter&) = delete;

  // Queues the state for saving, in place of one that is still waiting.
  void save(std::string state) {
    {
      const std::lock_guard lock(mutex_);
      waiting_ = std::move(state);
    }
    wake_.notify_one();
  }

 private:
  void run() {
    std::unique_lock lock(mutex_);
    for (;;) {
      wake_.wait(lock, [this] { return waiting_ || stopping_; });
      if (!waiting_) {
        return;
      }
      const std::string state = *std::exchange(waiting_, std::nullopt);
      lock.unlock();
      std::string error;
      try {
        store_.save(state);
      } catch (const DiskError& disk_error) {
        error = disk_error.what();
      }
      on_saved_(std::move(error));
      lock.lock();
    }
  }

  SnapshotStore& store_;
  const OnSaved on_saved_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<std::string> waiting_;
  bool stopping_ = false;
  std::thread thread_;  // declared last, since it uses all members above
};

}  // namespace reedspindle::snapshot
