; Clocks a few milliseconds apart, as on real machines. A front whose clock is behind those of the stores still honours
; the last writes of its sessions, and fronts accept each other's messages whichever clock is ahead.
(rig (fronts 4) (fleet (pace 200ms) (time-out 80ms)) (stores (count 4) (groups 1) (lag 8ms)) (rules (slack 1s))
  (clients (rate 150) (sessions 8))
  (op-type (name save) (needs write) (effect tokened) (weight 2))
  (op-type (name own) (needs session) (weight 3))
  (step (fault start) (fronts "0") (clock -9ms))
  (step (fault start) (fronts "1") (clock -3ms))
  (step (fault start) (fronts "2") (clock 30ms))
  (step (fault start) (fronts "3") (clock 8ms) (until agreed))
  (step (fault none) (lasts 2s))
  (step (fault none) (lasts 6s) (acked 0.9) (probes-at-most 9)))
