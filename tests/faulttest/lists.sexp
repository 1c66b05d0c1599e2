; The list of peers grows and shrinks while the fronts run (SIGHUP).
(rig (fronts 7) (fleet (pace 200ms) (time-out 80ms))
  (step (fault list) (count 4))
  (step (fault start) (fronts "0-3") (until agreed))
  (step (fault list) (count 7) (fronts "0-3"))
  (step (fault start) (fronts "4-6") (until agreed) (none-failed "0-6"))
  (step (fault end) (fronts "4-6") (until left) (of "4-6"))
  (step (fault list) (count 4) (fronts "0-3") (lasts 1s) (until agreed) (none-failed "0-3")))
