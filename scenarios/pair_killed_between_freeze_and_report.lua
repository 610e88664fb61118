-- The holder of `usage` is killed repeatedly at different times around the freeze and the report of a usage window. Windows must still be
-- reported.
cell{daemons=9, domains=3}
every(0.2, send, {tokens=5, retries=2})
for number = 1, 12 do
    at(10 + number * 12.05, function() kill(holder("usage")) end)
    at(15 + number * 12.05, function()
        for daemon = 1, 9 do
            start("d" .. daemon)
        end
    end)
end
run(200)
expect(windows_reported() > 8)
