-- One daemon reaches neither its peers nor the store: it must refuse within seconds with not_run.
cell{daemons=5, domains=3}
run(6)
partition("d1", {"d2", "d3", "d4", "d5", "store"})
run(5)
send{name="late", to="d1"}
run(1)
expect(outcome("late") == "not_run", "a daemon without majority and store refuses")
heal()
run(10)
send{name="healed", to="d1"}
run(5)
expect(outcome("healed") == "finished", "it serves again after the partition")
