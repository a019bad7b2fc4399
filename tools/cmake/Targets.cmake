# Functions that declare the project's targets.

# Warnings for our own code; generated code is compiled without them.
set(FESCUEGW_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)

# fescuegw_library(NAME SOURCES ... DEPENDS ...): one small library, named after its folder.
function(fescuegw_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(fescuegw_${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(fescuegw_${NAME} PUBLIC ${PROJECT_SOURCE_DIR})
  target_compile_options(fescuegw_${NAME} PRIVATE ${FESCUEGW_WARNINGS})
  target_link_libraries(fescuegw_${NAME} PUBLIC ${ARG_DEPENDS})
endfunction()

# fescuegw_program(NAME SOURCES ... DEPENDS ...): one program.
function(fescuegw_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_compile_options(${NAME} PRIVATE ${FESCUEGW_WARNINGS})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# fescuegw_test(NAME SOURCES ... DEPENDS ... [ARGUMENTS ...]): one Criterion test program, run by ctest with fixed seeds.
function(fescuegw_test NAME)
  if(NOT FESCUEGW_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_compile_options(${NAME} PRIVATE ${FESCUEGW_WARNINGS})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} criterion)
  add_test(NAME ${NAME} COMMAND ${NAME} ${ARG_ARGUMENTS})
endfunction()
