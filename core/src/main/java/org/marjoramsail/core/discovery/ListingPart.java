package org.marjoramsail.core.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * A piece of a section, which is sent in pieces so that no message exceeds the limit of a frame.
 *
 * @param request number of the request that is answered
 * @param section section to which the piece belongs
 * @param index position of the piece in its section, from zero
 * @param count number of pieces of the section; zero if the request is declined
 * @param text packed content
 */
public record ListingPart(long request, ListingSection section, int index, int count, String text) {

  /** Maximum size of a piece, in characters. */
  public static final int MAXIMUM_CHARS = 64 << 10;

  /** Returns the piece that declines a request. */
  public static ListingPart declined(long request) {
    return new ListingPart(request, ListingSection.ROUTES, 0, 0, "");
  }

  /** Returns whether the request was declined. */
  public boolean isDeclined() {
    return count == 0;
  }

  /** Splits the packed content of a section. */
  public static List<ListingPart> split(long request, ListingSection section, String packed) {
    int count = Math.max(1, (packed.length() + MAXIMUM_CHARS - 1) / MAXIMUM_CHARS);
    List<ListingPart> parts = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      int from = index * MAXIMUM_CHARS;
      String text = packed.substring(from, Math.min(packed.length(), from + MAXIMUM_CHARS));
      parts.add(new ListingPart(request, section, index, count, text));
    }
    return parts;
  }
}
