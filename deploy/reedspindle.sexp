; The operators' file, one for all programs: each takes its own part.
;   ROUTER_CONFIG=placement.json reedspindle run deploy/reedspindle.sexp    a front; without arguments it takes nothing from here
;   reedspindle-control run deploy/reedspindle.sexp                         the control service
; All keys, their units and defaults: show in the place of run; docs/membership.md and docs/control.md.
(reedspindle
  (log (form json) (level info))
  ; What the stores are asked. Routes go by these names.
  (op-type (name write) (needs write) (effect tokened))
  (op-type (name look) (needs bounded) (bound 1500ms) (effect retryable))
  (op-type (name own) (needs session) (effect retryable))
  (op-type (name report) (needs any) (effect retryable) (latency-target 4s) (op-timeout 8s))
  ; Who of the tier is there. Off where this list is missing, and on the platform, where a front is started bare.
  (fleet (pace 500ms) (time-out 200ms) (patience 4) (forget 5m) (status "/run/reedspindle/fleet.json")
    ; What each does by what it knows of the others (docs/consistency.md).
    (accord (pace 1s) (grace 3s) (silence 10s) (writes-for 2m))
    (resends (share 0.2) (burst 100))
    ; What each may use of what a store takes from all: the same at all fronts (docs/quota.md).
    (shares (fleet 8) (connections 200) (lease 2s) (evidence 1s) (notice 500ms) (kept 0.25) (drift 0.01)))
  (stores (cold-from 0.15) (warm-within 15s))
  (control
    (name control-a)
    (listen "127.0.0.1:18000")
    (discovery "127.0.0.1:8500")
    (keep "/var/lib/reedspindle")
    (roster (first-answer 2s) (confirm 2s) (largest-loss 0.5) (older-list 30s))
    (leases (transit 100ms) (clocks 10ms) (least 250ms))
    (proxies (most 1000) (names 4096) (unread 10s) (behind 30s))))
