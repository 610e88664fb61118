-- Endpoints hang, so load reports are stale, and engines send tokens of other attempts. No such token may reach a request.
cell{daemons=5, domains=3}
every(0.2, send, {tokens=20, retries=3})
at(6, hang, "e1", 13)
at(7, hang, "e2", 5)
at(8, stray_answers, "e3", 20)
at(9, stray_answers, "e4", 20)
run(40)
expect(total("finished") > 100)
