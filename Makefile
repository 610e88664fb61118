# Entry points for developers and CI. The build itself is in CMakeLists.txt.
BUILD ?= build
PACKAGES = libcapnp-dev capnproto libcpp-httplib-dev libgflags-dev libgoogle-glog-dev libabsl-dev libboost-dev \
	nlohmann-json3-dev libvalijson-dev libgtest-dev librapidcheck-dev libssl-dev liblua5.4-dev libxxhash-dev \
	pkg-config ninja-build ccache openssl curl g++ cmake clang-format-14 clang-tidy-14 clang-tidy-16

.PHONY: install build check sanitize demo format lint includes bench

# Installs the Debian packages unless all of them are present.
install:
	@dpkg-query -W $(PACKAGES) >/dev/null 2>&1 || (apt-get update -qq && apt-get install -y -qq $(PACKAGES) >/dev/null)

build: install
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null && cmake --build $(BUILD)

check: build
	@tools/run_tests.sh $(BUILD)

# Runs the tests of the data path in use, and a short fault soak of the real programs, with address and undefined behaviour sanitizers.
sanitize: install
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DLACEWINGLOCK_SANITIZE=ON >/dev/null && cmake --build $(BUILD)-sanitize --target lacewinglock_tests lacewinglock-edge lacewinglock-faultsoak
	@tools/run_sanitized.sh $(BUILD)-sanitize

demo: build
	@demo/run.sh $(BUILD)

bench: build
	@$(BUILD)/lacewinglock bench

format:
	@git ls-files '*.cpp' '*.h' | grep -v 'capnp\.' | xargs clang-format-14 --dry-run -Werror

# Files with coroutines. clang 14 cannot parse them, and Boost 1.74 does not detect coroutine support in clang 16, hence the define in lint. The
# checks are those of clang-tidy 14: bugprone-unchecked-optional-access, new in 15, is off because it does not see that ok() and has_value() were
# tested before a co_await.
COROUTINE_FILES = 'src/serving/*.cpp' 'platform/*.cpp' 'src/transport/boot_clock.cpp' 'src/transport/timeout.cpp' 'src/transport/spawn.cpp' 'src/transport/http_*.cpp' \
	'tests/*_forward_test.cpp' 'tests/platform_test.cpp' 'tests/edge_*.cpp' 'tests/endpoint_notice_test.cpp' 'tests/endpoint_pace_test.cpp' 'tests/fleet_duty_test.cpp' 'tests/usage_relay_test.cpp' 'tests/http_client_test.cpp' 'tests/endless_bytes_test.cpp' 'tests/lease_runner_test.cpp' 'tests/http_server_test.cpp' 'tests/spawn_test.cpp'
NO_COROUTINE_FILES = $(patsubst '%,':(exclude)%,$(COROUTINE_FILES))

# Runs clang-tidy on the sources in src/, platform/ and tests/ in parallel.
lint: build
	@git ls-files 'src/*.cpp' 'tests/*.cpp' $(NO_COROUTINE_FILES) | xargs -P 10 -n 2 clang-tidy-14 --quiet -p $(BUILD) 2>/dev/null
	@git ls-files $(COROUTINE_FILES) | xargs -P 10 -n 1 clang-tidy-16 --quiet -p $(BUILD) --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --checks=-bugprone-unchecked-optional-access 2>/dev/null

includes:
	@tools/check_includes.sh
