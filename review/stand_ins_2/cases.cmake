# Read by CMake right after the project() of the root: adds the cases once all libraries are known.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
  ${CMAKE_SOURCE_DIR}/review/stand_ins_2/programs.cmake)
