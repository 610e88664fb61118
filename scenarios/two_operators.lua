-- Two operators patch the configuration concurrently: one patch is refused with a conflict, and no version has two contents.
cell{daemons=9, domains=3}
run(6)
expect(race_weights("d1", 5, "d2", 7) == "conflict")
run(5)
expect(version("d1") == 2 and version("d9") == 2)
