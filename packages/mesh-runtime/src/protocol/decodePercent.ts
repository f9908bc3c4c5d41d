/**
 * @param text - percent-encoded text of another process
 * @returns the decoded text, or undefined if the encoding is malformed
 * @public
 */
export function decodePercent (text: string): string | undefined {
  try {
    return decodeURIComponent(text)
  } catch {
    // The caller refuses the message.
    return undefined
  }
}
