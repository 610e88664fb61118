# Entry points for people and CI. Everything else is CMake.
BUILD ?= build
PACKAGES = libcapnp-dev capnproto libcpp-httplib-dev libgflags-dev libgoogle-glog-dev libabsl-dev libboost-dev \
	nlohmann-json3-dev libvalijson-dev libgtest-dev librapidcheck-dev libssl-dev liblua5.4-dev libxxhash-dev \
	pkg-config ninja-build ccache openssl curl g++ cmake clang-format-14 clang-tidy-14

.PHONY: install build check demo format lint includes bench

# Installs the Debian packages; skipped when all of them are present.
install:
	@dpkg-query -W $(PACKAGES) >/dev/null 2>&1 || (apt-get update -qq && apt-get install -y -qq $(PACKAGES) >/dev/null)

build: install
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null && cmake --build $(BUILD)

check: build
	@tools/run_tests.sh $(BUILD)

demo: build
	@demo/run.sh $(BUILD)

bench: build
	@$(BUILD)/lacewinglock bench

format:
	@git ls-files '*.cpp' '*.h' | grep -v 'capnp\.' | xargs clang-format-14 --dry-run -Werror

# clang-tidy over every source file in parallel.
lint: build
	@git ls-files 'src/*.cpp' 'tests/*.cpp' | xargs -P 10 -n 2 clang-tidy-14 --quiet -p $(BUILD) 2>/dev/null

includes:
	@tools/check_includes.sh
