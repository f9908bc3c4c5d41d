/** How an answer is spoiled on its way out. @public */
export type AnswerFault = 'none' | 'truncated' | 'closeDelimited' | 'crossed'

/** Everything that the reducer can ask for. @public */
export type BackendEffect =
  | { readonly type: 'continue', readonly id: number }
  | {
    readonly type: 'answer',
    readonly id: number,
    readonly status: number,
    readonly headers: Readonly<Record<string, string>>,
    readonly fault: AnswerFault,
    readonly bytes?: number
  }
  | { readonly type: 'serve', readonly id: number, readonly delayMs: number }
  /** Never answers on this connection, and does not close it. */
  | { readonly type: 'mute', readonly id: number }
  | { readonly type: 'announce', readonly state: 'serving' | 'draining' | 'leaving' }
  | { readonly type: 'crash' }
  | { readonly type: 'exit' }
