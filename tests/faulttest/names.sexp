; Two processes with the same name: the later one yields, and takes over the name when the other is gone.
(rig (fronts 5) (fleet (pace 200ms) (time-out 80ms))
  (step (fault start) (fronts "0-3") (until agreed))
  (step (fault start) (fronts "4") (name n1) (until yielded) (of "4"))
  (step (fault none) (until agreed))
  (step (fault kill) (fronts "1") (lasts 500ms) (until there) (of "4")))
