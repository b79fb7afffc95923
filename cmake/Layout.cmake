# Libraries in dependency order, then the executables.
if(WIGEONFOLD_PCH)
  file(CONFIGURE OUTPUT ${CMAKE_BINARY_DIR}/pch.cpp CONTENT "// Holds the precompiled header.\n")
  add_library(wigeonfold_pch STATIC ${CMAKE_BINARY_DIR}/pch.cpp)
  target_link_libraries(wigeonfold_pch PRIVATE Threads::Threads)
  target_precompile_headers(wigeonfold_pch PRIVATE
    <utility> <algorithm> <chrono> <functional> <map> <memory> <optional>
    <string> <vector> <boost/asio.hpp> <boost/beast/core.hpp>
    <boost/beast/http.hpp> <boost/outcome.hpp> <nlohmann/json.hpp>)
endif()

wigeonfold_library(base LINK glog::glog inih xxhash docopt)
wigeonfold_library(wire USES base LINK thrift ZLIB::ZLIB)
wigeonfold_library(settings USES base wire)
wigeonfold_library(net USES base wire)
wigeonfold_library(storage USES base)
wigeonfold_library(consensus USES base wire)
wigeonfold_library(registry USES base settings wire)
wigeonfold_library(discovery USES base wire)
wigeonfold_library(rollout USES base settings wire)
wigeonfold_library(quota USES base wire)
wigeonfold_library(distribution USES base settings wire discovery rollout quota)
wigeonfold_library(routing USES base settings wire rollout)
wigeonfold_library(admission USES base)
wigeonfold_library(identity USES base settings wire routing)
wigeonfold_library(forwarding USES base wire net rollout routing admission identity)
wigeonfold_library(observe USES base wire net LINK prometheus-cpp::core)

wigeonfold_library(platform FOLDER platform
  USES base settings wire net registry discovery rollout routing identity forwarding)

wigeonfold_app(wigeonfold-control USES base settings wire net storage consensus registry discovery rollout quota distribution routing observe platform)
wigeonfold_app(wigeonfold-node USES base settings wire net discovery rollout quota distribution routing admission identity forwarding observe platform)
wigeonfold_app(wigeonfold USES base settings registry observe net)
wigeonfold_app(wigeonfold-target USES base net)
wigeonfold_app(wigeonfold-load USES base net)

if(WIGEONFOLD_TESTS)
# Runs scripted scenarios on the state machines of control VMs and nodes.
add_executable(scenario_test tests/scenario/World.cpp tests/scenario/Scenario_test.cpp)
target_link_libraries(scenario_test PRIVATE wigeonfold_consensus wigeonfold_registry
  wigeonfold_distribution wigeonfold_discovery GTest::gtest GTest::gtest_main)
target_compile_definitions(scenario_test PRIVATE WIGEONFOLD_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
if(WIGEONFOLD_PCH)
  target_precompile_headers(scenario_test REUSE_FROM wigeonfold_pch)
endif()
add_test(NAME scenario_test COMMAND scenario_test)
set_tests_properties(scenario_test PROPERTIES TIMEOUT 300)
endif()
