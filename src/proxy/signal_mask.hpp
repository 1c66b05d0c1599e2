// Signals that end the process or make it read its configuration again, held back until somebody hears them.
#pragma once

#include <csignal>

namespace reedspindle::proxy {

inline sigset_t handled_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

// Guards a process that is just starting against a SIGHUP, which would end it, and against losing one.
inline void block_signals() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Those that came meanwhile are delivered now.
inline void unblock_signals() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace reedspindle::proxy
