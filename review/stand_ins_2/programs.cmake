# The stand-ins of the fault soak, those of this folder, and one program for each case.
set(review_tests ${CMAKE_SOURCE_DIR}/tests)
set(review_folder ${CMAKE_SOURCE_DIR}/review)
add_library(review_stand_ins STATIC
  ${review_tests}/fault_soak/open_connection.cc ${review_tests}/fault_soak/run_checker.cc
  ${review_tests}/fault_soak/soak_store.cc ${review_tests}/fault_soak/soak_target.cc
  ${review_tests}/one_run/fake_leased_target.cc ${review_tests}/process/child_process.cc
  ${review_tests}/support/tcp_relay.cc ${review_tests}/support/relay_connection.cc
  ${review_folder}/stand_ins_2/fault_soak/case_record.cc
  ${review_folder}/stand_ins_2/fault_soak/heartbeat_relay.cc
  ${review_folder}/stand_ins_2/fault_soak/silent_address.cc
  ${review_folder}/stand_ins_2/fault_soak/small_deployment.cc)
target_include_directories(review_stand_ins PUBLIC ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/libraries)
target_link_libraries(review_stand_ins PUBLIC
  wagtail_base wagtail_http wagtail_platform wagtail_leases absl::strings absl::time)
add_custom_target(review_cases)
file(GLOB review_sources CONFIGURE_DEPENDS ${review_folder}/[0-9]*/main.cc)
foreach(review_source ${review_sources})
  get_filename_component(review_case_folder ${review_source} DIRECTORY)
  get_filename_component(review_number ${review_case_folder} NAME)
  add_executable(review_case_${review_number} ${review_source})
  target_link_libraries(review_case_${review_number} PRIVATE review_stand_ins)
  set_target_properties(review_case_${review_number} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  add_dependencies(review_cases review_case_${review_number})
endforeach()
