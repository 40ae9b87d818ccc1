# The review's program from the project's own stand-ins, with the packages of the deploy file alone.
set(fleet ${PROJECT_SOURCE_DIR}/src/standin/fleet)
set(names backend backend_answers backend_orders callers config_writer configuration_encoding
    deployments endless_answer event_loop fleet history http_client http_server judge judge_budget
    judge_configuration judge_crashes judge_ownership judge_paths judge_wishes key_holdings
    metadata_store node_pool packet_filter registry store_codec store_server)
set(sources)
foreach(name ${names})
  list(APPEND sources ${fleet}/${name}.cc)
endforeach()
add_executable(review_cases_2
  ${sources}
  ${PROJECT_SOURCE_DIR}/src/standin/processes/process_group.cc
  ${CMAKE_CURRENT_LIST_DIR}/ports.cc
  ${CMAKE_CURRENT_LIST_DIR}/rig.cc
  ${CMAKE_CURRENT_LIST_DIR}/cases.cc)
target_include_directories(review_cases_2 PRIVATE ${PROJECT_SOURCE_DIR}/src ${CMAKE_CURRENT_LIST_DIR})
target_link_libraries(review_cases_2 PRIVATE ladderstream_wire ladderstream_core_ownership
  ladderstream_core_store ladderstream_core_catalog absl::strings absl::str_format absl::time
  absl::synchronization absl::flat_hash_map Boost::headers nlohmann_json::nlohmann_json Threads::Threads)
