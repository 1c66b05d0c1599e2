; Two halves are cut off from one another and rejoin; then a cut that leaves one front connected to both halves.
(rig (fronts 8) (fleet (pace 200ms) (time-out 80ms))
  (step (fault start) (until agreed))
  (step (fault cut) (fronts "0-3") (to "4-7") (lasts 8s))
  (step (fault none) (lasts 1s))
  (step (fault heal) (until agreed))
  (step (fault cut) (fronts "0-3") (to "5-7") (lasts 4s) (none-failed "4"))
  (step (fault heal) (until agreed)))
