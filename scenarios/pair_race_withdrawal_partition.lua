-- Two operators patch concurrently just after a key was withdrawn, while a minority of daemons is partitioned from the others and the store.
-- After the partition the minority must refuse the key.
cell{daemons=9, domains=3}
every(0.05, send, {key="k2", tokens=2})
at(8, partition, {"d1", "d2", "d3"}, {"d4", "d5", "d6", "d7", "d8", "d9", "store"})
at(9, withdraw_key, "d5", "k2")
at(9.01, race_weights, "d5", 3, "d6", 4)
at(20, heal)
run(30)
send{name="late", to="d1", key="k2"}
run(1)
expect(code("late") == "wrong_key")
