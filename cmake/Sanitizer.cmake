# Sanitizers of the compiler for everything that is built; see scripts/sanitize and scripts/fuzz.
set(LADDERSTREAM_SANITIZERS "" CACHE STRING
    "What -fsanitize= names: address, undefined, thread, or several divided by commas")
option(LADDERSTREAM_FUZZ "Build only the fuzz targets, with clang and its sanitizers" OFF)
if(LADDERSTREAM_FUZZ)
  set(LADDERSTREAM_SANITIZERS address,undefined)
  add_compile_options(-fsanitize=fuzzer-no-link)
endif()
if(LADDERSTREAM_SANITIZERS)
  # A finding ends the program, so that no test passes over it.
  add_compile_options(-fsanitize=${LADDERSTREAM_SANITIZERS} -fno-sanitize-recover=all
                      -fno-omit-frame-pointer -O1 -g1)
  add_link_options(-fsanitize=${LADDERSTREAM_SANITIZERS})
endif()
