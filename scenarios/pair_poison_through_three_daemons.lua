-- A request that crashes its engines is sent again through three daemons: two crashes at most.
cell{daemons=9, domains=3}
every(0.3, send, {tokens=20, retries=3})
run(8)
send{name="first", to="d1", poison="p"}
run(6)
send{name="second", to="d4", poison="p"}
run(6)
send{name="third", to="d7", poison="p"}
run(6)
expect(crashes() <= 2, "more than two crashes")
expect(code("third") == "suspect_request")
