set(WAGTAIL_WARNINGS -Wall -Wextra -Wpedantic -Wno-pedantic -Werror)

# wagtail_library(NAME SOURCES... DEPS...): one static library with a single purpose, lib NAME under libraries/NAME.
function(wagtail_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(wagtail_${name} STATIC ${ARG_SOURCES})
  target_include_directories(wagtail_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/libraries> $<INSTALL_INTERFACE:include/wagtailplank>)
  target_compile_options(wagtail_${name} PRIVATE ${WAGTAIL_WARNINGS})
  target_link_libraries(wagtail_${name} PUBLIC ${ARG_DEPS})
endfunction()

# wagtail_program(NAME SOURCES... DEPS...): a daemon or tool, put into build/bin.
function(wagtail_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${WAGTAIL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# wagtail_test(NAME SOURCES... DEPS...): a CppUTest program registered with ctest.
function(wagtail_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cc)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/libraries)
  target_compile_options(${name} PRIVATE ${WAGTAIL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} PkgConfig::cpputest rapidcheck)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name} -v)
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204;WAGTAIL_BIN=${CMAKE_BINARY_DIR}/bin;WAGTAIL_SOURCE=${CMAKE_SOURCE_DIR}"
    TIMEOUT 600)
endfunction()
