-- Leases expire while their holders are paused, and the store loses answers to commits while successors take over.
cell{daemons=9, domains=3}
at(6, order_role, "e1", "prefill")
at(6, provision, "z2", 1)
at(8, function()
    for _, duty in ipairs{"orders", "provision", "usage"} do
        pause(holder(duty), 9)
    end
    lose_answers(4, "after")
end)
for moment = 13, 18 do
    at(moment, lose_answers, 2, "after")
end
run(60)
expect(role("e1") == "prefill")
