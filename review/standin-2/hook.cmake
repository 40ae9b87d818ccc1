# Included by the project's top-level file (CMAKE_PROJECT_ladderstream_INCLUDE). The review's program
# is added once all targets of the node exist.
set(LADDERSTREAM_REVIEW_2 ${CMAKE_CURRENT_LIST_DIR})
cmake_language(DEFER CALL include "${LADDERSTREAM_REVIEW_2}/targets.cmake")
