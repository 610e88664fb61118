-- Daemons shut down one after the other under load, as in a rolling restart. No request may end partially or with an unknown state.
cell{daemons=5, domains=3}
every(0.1, send, {tokens=25, retries=3})
for number = 1, 5 do
    at(number * 14, shut_down, "d" .. number)
    at(number * 14 + 9, start, "d" .. number)
end
run(90)
expect(total("partial") == 0 and total("unknown") == 0)
