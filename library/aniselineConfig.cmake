# Package configuration for find_package(aniseline): finds the dependencies and imports the targets.
include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(Boost COMPONENTS fiber context serialization system)
include("${CMAKE_CURRENT_LIST_DIR}/aniselineTargets.cmake")
