-- Two operators patch at once: one of the patches is refused, no version has two contents.
cell{daemons=9, domains=3}
run(6)
expect(race_weights("d1", 5, "d2", 7) == "conflict")
run(5)
expect(version("d1") == 2 and version("d9") == 2)
