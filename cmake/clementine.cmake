# Functions that declare the modules, programs and tests of this project.

# clementine_module(NAME LIBS...) builds every .cpp below the current folder
# into the static library NAME, links LIBS and installs library and headers.
function(clementine_module name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC ${ARGN} Threads::Threads)
    install(TARGETS ${name} ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE ${ARGN} Threads::Threads)
  endif()
  install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/clementinecove
          FILES_MATCHING PATTERN "*.h")
endfunction()

# clementine_program(NAME LIBS...) builds every .cpp of the current folder into
# the program NAME.
function(clementine_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                        ${CMAKE_BINARY_DIR}/bin)
endfunction()

# clementine_test(NAME LIBS...) builds every .cpp of the current folder into a
# doctest program and registers it with CTest.
function(clementine_test name)
  clementine_program(${name} ${ARGN})
  target_compile_definitions(${name} PRIVATE
    CLEMENTINE_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    CLEMENTINE_BINARY_DIR="${CMAKE_BINARY_DIR}/bin")
  add_test(NAME ${name} COMMAND ${name} --no-breaks=true)
  # A fixed seed makes the RapidCheck runs reproducible.
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
