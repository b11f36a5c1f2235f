# Installs two archives with headers, a CMake package and pkg-config files:
#   wagtailplank::core           decisions only: no sockets, threads or clocks
#   wagtailplank::wagtailplank   everything, including the parts of the daemons
# and the programs. Included last, after all libraries are declared.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(WAGTAIL_CORE_PARTS base settings configuration jobs admission dispatch ledger placement membership freshness)
# Every other library goes into the second archive.
file(GLOB WAGTAIL_OTHER_PARTS CONFIGURE_DEPENDS RELATIVE ${CMAKE_SOURCE_DIR}/libraries
  ${CMAKE_SOURCE_DIR}/libraries/*/CMakeLists.txt)
list(TRANSFORM WAGTAIL_OTHER_PARTS REPLACE "/CMakeLists.txt$" "")
list(REMOVE_ITEM WAGTAIL_OTHER_PARTS ${WAGTAIL_CORE_PARTS})
set(WAGTAIL_PUBLIC_HEADERS ${CMAKE_INSTALL_INCLUDEDIR}/wagtailplank)

# wagtail_archive(NAME EXPORTED PARTS... DEPS...): one archive from the objects of several libraries.
function(wagtail_archive name exported)
  cmake_parse_arguments(ARG "" "" "PARTS;DEPS" ${ARGN})
  set(objects)
  foreach(part ${ARG_PARTS})
    list(APPEND objects $<TARGET_OBJECTS:wagtail_${part}>)
  endforeach()
  add_library(${name} STATIC ${objects})
  set_target_properties(${name} PROPERTIES LINKER_LANGUAGE CXX EXPORT_NAME ${exported})
  target_compile_features(${name} INTERFACE cxx_std_20)
  target_include_directories(${name} INTERFACE $<INSTALL_INTERFACE:${WAGTAIL_PUBLIC_HEADERS}>)
  target_link_libraries(${name} INTERFACE ${ARG_DEPS})
  install(TARGETS ${name} EXPORT wagtailplankTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
endfunction()

wagtail_archive(wagtailplank_core core
  PARTS ${WAGTAIL_CORE_PARTS}
  DEPS absl::status absl::statusor absl::strings absl::str_format absl::flat_hash_map
    absl::flat_hash_set absl::hash nlohmann_json::nlohmann_json Threads::Threads PkgConfig::xxhash)
wagtail_archive(wagtailplank wagtailplank
  PARTS ${WAGTAIL_OTHER_PARTS}
  DEPS wagtailplank_core absl::time PkgConfig::ulfius PkgConfig::microhttpd PkgConfig::capnp
    PkgConfig::log4cxx PkgConfig::urcu PkgConfig::gnutls)

install(DIRECTORY ${CMAKE_SOURCE_DIR}/libraries/ DESTINATION ${WAGTAIL_PUBLIC_HEADERS}
  FILES_MATCHING PATTERN "*.h")
install(TARGETS wagtail-entryd wagtail-targetd wagtailctl wagtail-load
  RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})

set(package_folder ${CMAKE_INSTALL_LIBDIR}/cmake/wagtailplank)
install(EXPORT wagtailplankTargets NAMESPACE wagtailplank:: DESTINATION ${package_folder})
configure_package_config_file(${CMAKE_SOURCE_DIR}/meta/cmake/wagtailplankConfig.cmake.in
  ${CMAKE_BINARY_DIR}/wagtailplankConfig.cmake INSTALL_DESTINATION ${package_folder})
write_basic_package_version_file(${CMAKE_BINARY_DIR}/wagtailplankConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/wagtailplankConfig.cmake
  ${CMAKE_BINARY_DIR}/wagtailplankConfigVersion.cmake DESTINATION ${package_folder})
# Relative to this file, so that an installed tree can be relocated.
file(RELATIVE_PATH WAGTAIL_PC_TO_PREFIX ${CMAKE_INSTALL_FULL_LIBDIR}/pkgconfig ${CMAKE_INSTALL_PREFIX})
foreach(module wagtailplank wagtailplank-core)
  configure_file(${CMAKE_SOURCE_DIR}/meta/cmake/${module}.pc.in ${CMAKE_BINARY_DIR}/${module}.pc @ONLY)
  install(FILES ${CMAKE_BINARY_DIR}/${module}.pc DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
endforeach()
