; Links between fronts that are cut, cut one way, slow or lossy. No front that can be reached on some path is declared
; failed.
(rig (fronts 8) (fleet (pace 200ms) (time-out 80ms))
  (step (fault start) (until agreed))
  (step (fault cut) (fronts "1") (to "2") (lasts 6s) (until agreed) (none-failed "0-7"))
  (step (fault heal))
  (step (fault cut-one-way) (fronts "1") (to "2") (lasts 6s) (until agreed) (none-failed "0-7"))
  (step (fault heal))
  (step (fault loss) (share 0.05) (lasts 5s) (none-failed "0-7"))
  (step (fault loss) (share 0.2) (lasts 3s))
  (step (fault doubled) (share 0.3) (lasts 1s))
  (step (fault heal) (until agreed))
  ; 300 ms of delay on all links of one front.
  (step (fault slow) (fronts "4") (by 300ms) (jitter 50ms) (lasts 4s))
  (step (fault heal) (until agreed)))
