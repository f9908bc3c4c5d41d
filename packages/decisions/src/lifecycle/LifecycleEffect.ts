/** Sets the readiness that `/readyz` reports. @public */
export interface SetReadiness {
  readonly slice: 'lifecycle'
  readonly type: 'setReadiness'
  readonly ready: boolean
}

/** Makes every response from now on tell its caller to close the connection. @public */
export interface CloseAfterAnswers {
  readonly slice: 'lifecycle'
  readonly type: 'closeAfterAnswers'
}

/** Requests an `idleReached` event as soon as no exchange is open. @public */
export interface AwaitIdle {
  readonly slice: 'lifecycle'
  readonly type: 'awaitIdle'
}

/** Closes the listening ports. Exchanges that have started in the meantime are completed. @public */
export interface CloseListeners {
  readonly slice: 'lifecycle'
  readonly type: 'closeListeners'
}

/** Exits the process. @public */
export interface Exit {
  readonly slice: 'lifecycle'
  readonly type: 'exit'
  readonly code: number
}

/** @public */
export type LifecycleEffect = AwaitIdle | CloseAfterAnswers | CloseListeners | Exit | SetReadiness
