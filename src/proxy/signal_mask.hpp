// Blocks the signals that the process handles until its handlers are installed.
#pragma once

#include <csignal>

namespace reedspindle::proxy {

// Returns the signals that end the process, and SIGHUP, which makes it reload its configuration.
inline sigset_t handled_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

// Blocks the handled signals. Until its handler is installed, a SIGHUP would end the starting process; a
// blocked one stays pending and is not lost.
inline void block_signals() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Unblocks the handled signals; pending ones are delivered.
inline void unblock_signals() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace reedspindle::proxy
