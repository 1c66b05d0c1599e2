; Fronts that are cut off, stopped, or restarted while cut off: quota that may still be in use is not given to others.
(rig (fronts 5) (fleet (pace 200ms) (time-out 80ms) (shares (connections 20) (lease 1s) (evidence 500ms) (notice 250ms)))
  (stores (count 4) (groups 1) (work 20ms) (workers 32)) (rules (slack 1s)) (clients (rate 80))
  (step (fault start) (until agreed) (part-at-least 1))
  (step (fault none) (lasts 1s))
  ; Two of five are cut off: both sides keep their base quota.
  (step (fault cut) (fronts "0-1") (to "2-4") (lasts 4s) (part-at-least 1) (acked 0.8))
  ; One of them restarts while cut off: it has its reserved quota at first, and all of it once no lease on it can be valid.
  (step (fault kill) (fronts "1") (lasts 2s))
  (step (fault start) (fronts "1") (lasts 500ms) (part-at-least 0.25))
  (step (fault none) (lasts 3s) (part-at-least 1))
  (step (fault heal) (until agreed))
  ; A cut in one direction, then a cut that leaves one front connected to both halves.
  (step (fault cut-one-way) (fronts "0-1") (to "2-4") (lasts 3s))
  (step (fault heal) (lasts 1s))
  (step (fault cut) (fronts "0-1") (to "3-4") (lasts 3s) (part-at-least 1))
  (step (fault heal) (until agreed))
  ; A front that holds quota of two dead ones is stopped, continues after they are back, and has released that quota.
  (step (fault kill) (fronts "3-4") (lasts 4s))
  (step (fault stop) (fronts "2") (lasts 1s))
  (step (fault start) (fronts "3-4") (lasts 4s))
  (step (fault wake) (fronts "2") (until agreed) (part-at-least 1))
  ; Links that flap at the period of the leases, with restarts in between.
  (step (fault cut) (fronts "0") (to "1-4") (lasts 600ms))
  (step (fault heal) (lasts 600ms))
  (step (fault kill) (fronts "2") (lasts 300ms))
  (step (fault cut) (fronts "1") (to "2-4") (lasts 600ms))
  (step (fault start) (fronts "2") (lasts 600ms))
  (step (fault heal) (until agreed) (part-at-least 1))
  (step (fault none) (lasts 2s) (acked 0.8)))
