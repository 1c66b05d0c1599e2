; A process that is paused for 5 s is declared failed by the others. When it continues it doubts its own view, and does
; not declare the others failed.
(rig (fronts 6) (fleet (pace 200ms) (time-out 80ms))
  (step (fault start) (until agreed))
  (step (fault stop) (fronts "2") (lasts 5s) (until failed) (of "2") (none-failed "0-1,3-5"))
  (step (fault wake) (fronts "2") (lasts 2s) (until agreed) (none-failed "0-1,3-5")))
