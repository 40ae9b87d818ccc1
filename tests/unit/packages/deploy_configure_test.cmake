# Configures the build of a deployment from scratch: fails when a part of the node depends on a
# directory or a library that this build leaves out, or when the node is not among its targets.
file(REMOVE_RECURSE ${BUILD_DIR})
execute_process(
  COMMAND ${CMAKE_COMMAND} -S ${SOURCE_DIR} -B ${BUILD_DIR} -G Ninja -DCMAKE_BUILD_TYPE=Release
          -DLADDERSTREAM_DEPLOY_ONLY=ON
  RESULT_VARIABLE result OUTPUT_VARIABLE output ERROR_VARIABLE output)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "configuring a deployment failed:\n${output}")
endif()
execute_process(
  COMMAND ninja -C ${BUILD_DIR} -t query ladderstream_node
  RESULT_VARIABLE result OUTPUT_VARIABLE output ERROR_VARIABLE output)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "a deployment cannot build ladderstream_node:\n${output}")
endif()
foreach(left_out tests src/daemon src/generated)
  if(EXISTS ${BUILD_DIR}/${left_out})
    message(FATAL_ERROR "a deployment builds ${left_out}, which the node does not need")
  endif()
endforeach()
