package org.clementinepost.policy.access;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SafePathTest {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "/",
        "/a/b",
        "/a%20b",
        "/a+b",
        "/.well-known/x",
        "/a..b",
        "/...",
        "/%C3%A9",
        "/a;b=1"
      })
  void acceptsUnambiguousPath(String path) {
    assertThat(SafePath.isSafe(path)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "a",
        "*",
        "http://x/a",
        "//x",
        "/open/../private",
        "/open/..",
        "/./a",
        "/%2e%2e/a",
        "/open/%2E./private",
        "/open%2f..%2fprivate",
        "/open/..;/private",
        "/open\\..\\private",
        "/%252e%252e/a",
        "/%25252525252e%252e",
        "/%",
        "/%zz",
        "/a%00b",
        "/a%0d%0ab"
      })
  void rejectsPathThatBackendServerMayInterpretDifferently(String path) {
    assertThat(SafePath.isSafe(path)).isFalse();
  }
}
