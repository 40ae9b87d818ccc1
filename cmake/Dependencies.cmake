# Every outside library the project links, in one place. scripts/packages.txt names the package of
# each; a unit test keeps both in step.

# What the node that a platform runs needs.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(absl REQUIRED)
find_package(Boost REQUIRED COMPONENTS log)
find_package(msgpack CONFIG REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(toml11 REQUIRED)
find_package(ZLIB REQUIRED)
pkg_check_modules(GFLAGS REQUIRED IMPORTED_TARGET gflags)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
if(LADDERSTREAM_DEPLOY_ONLY)
  return()
endif()

# What the other programs and the tests need besides.
find_package(gRPC CONFIG REQUIRED)
find_package(Protobuf REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_package(Boost REQUIRED COMPONENTS log unit_test_framework)
# The library's header and its binary agree only with the defines that pkg-config gives.
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
