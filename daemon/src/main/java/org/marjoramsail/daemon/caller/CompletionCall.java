package org.marjoramsail.daemon.caller;

/**
 * Parameters of a completion request.
 *
 * @param service the service, which callers name as the model
 * @param prompt the prompt
 * @param maximumTokens maximum number of generated tokens
 * @param streamed whether the output is streamed
 */
record CompletionCall(String service, String prompt, int maximumTokens, boolean streamed) {}
