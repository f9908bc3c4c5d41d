import { Deadline } from './Deadline'

/**
 * Makes a call that is aborted after a time.
 *
 * @param timeoutMs - the time in milliseconds
 * @param call - the call
 * @returns the result of the call
 * @internal
 */
export async function callWithTimeout<Result> (
  timeoutMs: number,
  call: (signal: AbortSignal) => Promise<Result>
): Promise<Result> {
  const deadline = new Deadline(timeoutMs)
  try {
    return await call(deadline.signal)
  } finally {
    deadline.clear()
  }
}
