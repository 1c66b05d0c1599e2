; One front is cut off from its peers and from discovery, but not from clients and stores. It keeps serving, then
; rejects writes, then reads as well, reports that it is cut off, and recovers at the first contact. The others are
; not affected.
(rig (fronts 5) (fleet (pace 200ms) (time-out 80ms) (accord (pace 200ms) (grace 500ms) (silence 1500ms) (writes-for 3s) (reads-for 5s)))
  (stores (count 4) (groups 1)) (rules (slack 1s)) (clients (rate 80))
  (step (fault start) (until agreed))
  (step (fault none) (lasts 1s) (until accord))
  (step (fault cut) (fronts "0") (to "1-4") (with discovery) (lasts 1s) (acked 0.9))
  (step (fault none) (until cut-off) (of "0"))
  (step (fault none) (lasts 5s))
  (step (fault heal) (until accord) (within 10s))
  (step (fault none) (lasts 2s) (acked 0.9)))
