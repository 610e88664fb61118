-- A request that crashes engines is retried through three daemons. It may crash two engines at most, because daemons share the suspects.
cell{daemons=9, domains=3}
every(0.3, send, {tokens=20, retries=3})
run(8)
send{name="first", to="d1", poison="p"}
run(6)
send{name="second", to="d4", poison="p"}
run(6)
send{name="third", to="d7", poison="p"}
run(6)
expect(crashes() <= 2, "the poison request crashed more than two engines")
expect(code("third") == "suspect_request")
