package org.marjoramsail.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Compares the text of a completion with the expected one, piece by piece. */
final class CompletionCheck {

  /** What a piece of text turned out to be. */
  enum Verdict {
    RIGHT,
    WRONG,
    REPEATED
  }

  private final List<String> expected;
  private final StringBuilder expectedText = new StringBuilder();
  private String lastPiece = "";
  private int offset;
  private int preparedTokens;
  private int rightTokens;
  private int rightTokensEnd;

  CompletionCheck(List<String> expected) {
    this.expected = expected;
  }

  Verdict accept(String piece) {
    if (piece.isEmpty()) {
      return Verdict.RIGHT;
    }
    while (expectedText.length() < offset + piece.length() && preparedTokens < expected.size()) {
      expectedText.append(expected.get(preparedTokens));
      preparedTokens++;
    }
    boolean right =
        expectedText.length() >= offset + piece.length()
            && expectedText.substring(offset, offset + piece.length()).equals(piece);
    if (!right) {
      return piece.equals(lastPiece) || isWhole() ? Verdict.REPEATED : Verdict.WRONG;
    }
    offset += piece.length();
    lastPiece = piece;
    countRightTokens();
    return Verdict.RIGHT;
  }

  boolean isWhole() {
    return rightTokens == expected.size();
  }

  int tokens() {
    return rightTokens;
  }

  private void countRightTokens() {
    while (rightTokens < preparedTokens
        && rightTokensEnd + expected.get(rightTokens).length() <= offset) {
      rightTokensEnd += expected.get(rightTokens).length();
      rightTokens++;
    }
  }

  String progress() {
    return "%d of %d tokens".formatted(rightTokens, expected.size());
  }

  /** The text of an answer, or of a frame of one, in the shapes of both kinds of completion. */
  static String text(JsonNode answer) {
    JsonNode choice = answer.path("choices").path(0);
    if (choice.has("text")) {
      return choice.path("text").asText();
    }
    JsonNode message = choice.has("delta") ? choice.path("delta") : choice.path("message");
    return message.path("content").asText("");
  }
}
