# flamingoshunt_package(DEPENDS <packages> LIBRARIES <targets>)
#
# Defines the package of the current folder: every .cc file beside the
# CMakeLists.txt goes into the library flamingoshunt_<folder>, and every .cc
# file below tests/{correctness,error,fuzz} goes into <folder>_tests.
function(flamingoshunt_package)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;TEST_LIBRARIES" ${ARGN})
  get_filename_component(name ${CMAKE_CURRENT_SOURCE_DIR} NAME)
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  list(FILTER sources EXCLUDE REGEX "_main\\.cc$")
  if(sources)
    add_library(flamingoshunt_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(flamingoshunt_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(flamingoshunt_${name} ${scope}
                             ${CMAKE_SOURCE_DIR}/packages ${CMAKE_SOURCE_DIR})
  list(TRANSFORM ARG_DEPENDS PREPEND flamingoshunt_)
  target_link_libraries(flamingoshunt_${name} ${scope} ${ARG_DEPENDS} ${ARG_LIBRARIES})

  file(GLOB test_sources CONFIGURE_DEPENDS tests/correctness/*.cc tests/error/*.cc
       tests/fuzz/*.cc)
  if(BUILD_TESTING AND test_sources)
    add_executable(${name}_tests ${test_sources} $<TARGET_OBJECTS:test_main>)
    target_link_libraries(${name}_tests PRIVATE flamingoshunt_${name} ${ARG_TEST_LIBRARIES})
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 240)
  endif()
endfunction()
