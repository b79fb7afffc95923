# Stops with the Debian packages that are missing and the command that installs
# them. A failed find_package() names neither.
set(WIGEONFOLD_MISSING_PACKAGES "")

# wigeonfold_need_header(PACKAGE HEADER): PACKAGE provides the header HEADER.
function(wigeonfold_need_header package header)
  string(MAKE_C_IDENTIFIER "WIGEONFOLD_HEADER_${header}" variable)
  find_path(${variable} ${header})
  mark_as_advanced(${variable})
  if(NOT ${variable})
    list(APPEND WIGEONFOLD_MISSING_PACKAGES ${package})
    set(WIGEONFOLD_MISSING_PACKAGES "${WIGEONFOLD_MISSING_PACKAGES}" PARENT_SCOPE)
  endif()
endfunction()

wigeonfold_need_header(libboost-dev           boost/asio.hpp)
wigeonfold_need_header(libdocopt-dev          docopt/docopt.h)
wigeonfold_need_header(libgoogle-glog-dev     glog/logging.h)
wigeonfold_need_header(libinih-dev            ini.h)
wigeonfold_need_header(libthrift-dev          thrift/Thrift.h)
wigeonfold_need_header(libxxhash-dev          xxhash.h)
wigeonfold_need_header(nlohmann-json3-dev     nlohmann/json.hpp)
wigeonfold_need_header(prometheus-cpp-dev     prometheus/registry.h)
wigeonfold_need_header(zlib1g-dev             zlib.h)
if(WIGEONFOLD_TESTS)
  wigeonfold_need_header(libgtest-dev         gtest/gtest.h)
  wigeonfold_need_header(librapidcheck-dev    rapidcheck.h)
endif()

if(WIGEONFOLD_MISSING_PACKAGES)
  list(JOIN WIGEONFOLD_MISSING_PACKAGES " " missing)
  message(FATAL_ERROR
    "Debian packages are missing: ${missing}\n"
    "Install them with ./scripts/install-packages or: apt-get install ${missing}")
endif()
