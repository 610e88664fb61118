-- One side of a partition holds the `roster` lease and removes members from the roster step by step, while the other side still counts
-- majorities by an older roster. A key that was withdrawn on one side must not be admitted by the other.
cell{daemons=9, domains=3}
every(0.05, send, {key="k2", tokens=2})
run(10)
local small, large = {}, {}
local roster_holder = holder("roster")
for number = 1, 9 do
    local id = "d" .. number
    if id == roster_holder or (#small < 3) then small[#small + 1] = id else large[#large + 1] = id end
end
local far = {"store"}
for _, id in ipairs(small) do far[#far + 1] = id end
-- The side without the holder is cut off from the store as well; it serves by its majority of the older roster.
partition(large, far)
run(40)
withdraw_key(roster_holder, "k2")
run(40)
heal()
run(10)
send{name="late", key="k2", to=large[1]}
run(1)
expect(code("late") == "wrong_key")
