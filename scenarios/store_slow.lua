-- Answers of the table service arrive late or after the client's timeout, while the commits still take effect.
cell{daemons=9, domains=3}
every(0.3, send, {tokens=10, retries=3})
every(1, send, {booking="slow", retries=0})
at(8, store_slow, 6)
at(40, store_slow, 0)
run(70)
expect(executions("slow") <= 1)
expect(windows_reported() > 3)
