; The operators' file. The front takes nothing from it; the control service is started by
;   reedspindle-control run deploy/reedspindle.sexp
; All keys, their units and defaults: reedspindle-control show deploy/reedspindle.sexp, and docs/control.md.
(reedspindle
  (log (form json) (level info))
  ; What the stores are asked. Routes go by these names.
  (op-type (name write) (needs write) (effect tokened))
  (op-type (name look) (needs bounded) (bound 1500ms) (effect retryable))
  (op-type (name own) (needs session) (effect retryable))
  (op-type (name report) (needs any) (effect retryable) (latency-target 4s) (op-timeout 8s))
  (stores (cold-from 0.15) (warm-within 15s))
  (control
    (name control-a)
    (listen "127.0.0.1:18000")
    (discovery "127.0.0.1:8500")
    (keep "/var/lib/reedspindle")
    (roster (first-answer 2s) (confirm 2s) (largest-loss 0.5) (older-list 30s))
    (leases (transit 100ms) (clocks 10ms) (least 250ms))
    (proxies (most 1000) (names 4096) (unread 10s) (behind 30s))))
