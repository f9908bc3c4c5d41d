import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['platform/**/*.test.ts', 'packages/**/*.test.ts', 'apps/**/*.test.ts', 'standins/**/*.test.ts'],
    setupFiles: ['./vitest.setup.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // A worker that computes for long must still answer the runner within 60 s; with four it once did not.
    maxWorkers: 3,
    minWorkers: 1
  }
})
