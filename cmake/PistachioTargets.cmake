# Functions that give every library, program and test of the project the same flags.

add_library(pistachio_flags INTERFACE)
target_compile_options(pistachio_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
target_compile_definitions(pistachio_flags INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ERROR_CODE_HEADER_ONLY)

# pistachio_add_library(<name> SOURCES <files> [DEPENDS <targets>])
function(pistachio_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE pistachio_flags)
endfunction()

# pistachio_add_program(<name> SOURCES <files> [DEPENDS <targets>])
function(pistachio_add_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} pistachio_flags Threads::Threads)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# pistachio_add_test(<lib> SOURCES <files> [DEPENDS <targets>]): the CppUnit test program of one library.
function(pistachio_add_test lib)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(tst_${lib} ${PROJECT_SOURCE_DIR}/tests/auto/testmain.cpp ${ARG_SOURCES})
    target_link_libraries(tst_${lib} PRIVATE ${lib} ${ARG_DEPENDS} pistachio_flags PkgConfig::CPPUNIT Threads::Threads)
    target_include_directories(tst_${lib} PRIVATE ${PROJECT_SOURCE_DIR}/tests/auto)
    add_test(NAME ${lib} COMMAND tst_${lib})
    set_tests_properties(${lib} PROPERTIES TIMEOUT 300)
endfunction()

# pistachio_add_folders(<names>): adds those of the named folders that exist.
function(pistachio_add_folders)
    foreach(folder IN LISTS ARGN)
        if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/CMakeLists.txt)
            add_subdirectory(${folder})
        endif()
    endforeach()
endfunction()
