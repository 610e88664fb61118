-- A daemon that reaches neither its peers nor the store must refuse requests with not_run within seconds, because its configuration may be stale.
cell{daemons=5, domains=3}
run(6)
partition("d1", {"d2", "d3", "d4", "d5", "store"})
run(5)
send{name="late", to="d1"}
run(1)
expect(outcome("late") == "not_run", "a daemon without majority and store did not refuse with not_run")
heal()
run(10)
send{name="healed", to="d1"}
run(5)
expect(outcome("healed") == "finished", "the daemon did not serve requests after the partition ended")
